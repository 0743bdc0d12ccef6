/** Bounded queues that hand work over to single-threaded event loops. */
package org.toucanmast.runtime.eventloop;
