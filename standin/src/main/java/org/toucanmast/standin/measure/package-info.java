/** Measurements of whole fleets: latency, throughput, failover and slopes of growth. */
package org.toucanmast.standin.measure;
