/** Parses sections of key-value pairs and validates them against a protobuf schema. */
package org.toucanmast.core.text;
