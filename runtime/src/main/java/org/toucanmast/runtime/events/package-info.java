/** Structured log lines as JSON, with a rate limit for each kind of event. */
package org.toucanmast.runtime.events;
