/** Calls to endpoints and the connections they run on. */
package org.toucanmast.runtime.endpoint;
