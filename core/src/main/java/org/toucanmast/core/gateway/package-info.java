/**
 * Admission, queueing and load estimates for the statements that a gateway runs at its endpoints.
 */
package org.toucanmast.core.gateway;
