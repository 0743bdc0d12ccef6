/** The peers of a VM: heartbeats, who is live, and the spread of the configuration. */
package org.toucanmast.runtime.membership;
