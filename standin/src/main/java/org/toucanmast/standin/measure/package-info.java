/** Measurements of complete fleets: latency, throughput, failover, fairness and idle overhead. */
package org.toucanmast.standin.measure;
