/**
 * Order, admission and placement of statements that compete for an endpoint, by the latency
 * objectives of their operations.
 */
package org.toucanmast.core.scheduling;
