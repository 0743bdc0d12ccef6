/**
 * What the session proxy needs from its surroundings: the protocols of callers and endpoints, an
 * object store, and a way to order promotions. Adapters implement it.
 */
package org.toucanmast.runtime.port;
