/**
 * Tracks the peers of a VM: heartbeats, liveness, and the lending of shares to allowance holders.
 */
package org.toucanmast.runtime.membership;
