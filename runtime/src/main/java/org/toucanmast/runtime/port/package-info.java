/**
 * Interfaces between the session proxy and its environment: the protocols of callers and endpoints,
 * the object store, and promotion orders. Adapters implement them.
 */
package org.toucanmast.runtime.port;
