package org.toucanmast.runtime.platform;

/**
 * An object of the platform.
 *
 * @param version the version, which rises with each edit; 0 for an object that does not exist
 * @param value the value as JSON
 */
public record PlatformObject(long version, String value) {}
