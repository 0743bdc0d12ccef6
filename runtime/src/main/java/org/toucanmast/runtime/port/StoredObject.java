package org.toucanmast.runtime.port;

import io.vertx.core.json.JsonObject;

/**
 * An object of the store.
 *
 * @param name the name, unique within the kind
 * @param revision the store's revision of the object's last change
 * @param content the content; null if it is not a JSON object
 */
public record StoredObject(String name, long revision, JsonObject content) {}
