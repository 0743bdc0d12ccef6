package org.toucanmast.runtime.port;

import io.vertx.core.json.JsonObject;

/**
 * An object of the store.
 *
 * @param name its name within its kind
 * @param revision the store's revision of its last change
 * @param content what it holds; null when it is not readable
 */
public record StoredObject(String name, long revision, JsonObject content) {}
