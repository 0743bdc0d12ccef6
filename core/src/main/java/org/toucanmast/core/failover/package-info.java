/** Detection of a failed primary and choice of the endpoint that replaces it. */
package org.toucanmast.core.failover;
