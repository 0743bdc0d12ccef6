package org.toucanmast.runtime.platform;

/**
 * One object of the platform.
 *
 * @param version rises with each change; 0 for an object that does not exist
 * @param value its JSON text
 */
public record PlatformObject(long version, String value) {}
