/** Counters and histograms, and the listener for health and metrics. */
package org.toucanmast.runtime.metrics;
