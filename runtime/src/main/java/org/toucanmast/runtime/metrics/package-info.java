/** Request metrics, and the HTTP server for health checks and metrics. */
package org.toucanmast.runtime.metrics;
