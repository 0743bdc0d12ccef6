/** Structured log lines, one for each decision. */
package org.toucanmast.runtime.events;
