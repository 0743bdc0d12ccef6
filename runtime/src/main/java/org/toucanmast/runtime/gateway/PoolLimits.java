package org.toucanmast.runtime.gateway;

import java.util.Optional;

/**
 * What limits the work that a gateway gives an endpoint.
 *
 * @param leavingPrimaryGraceInMilliseconds how long a leaving primary still gets statements until
 *     another endpoint becomes primary, from the earliest time at which it may have been leaving
 * @param maximumConnections the maximum number of connections from all VMs together
 * @param learned the learned limit; empty if the slots of the endpoint are its limit
 */
record PoolLimits(
    long leavingPrimaryGraceInMilliseconds,
    int maximumConnections,
    Optional<LearnedLimit> learned) {}
