/** Calls to endpoints, and the connections that carry them. */
package org.toucanmast.runtime.endpoint;
