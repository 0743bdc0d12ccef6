/** When a primary is given up, and which endpoint follows it. */
package org.toucanmast.core.failover;
