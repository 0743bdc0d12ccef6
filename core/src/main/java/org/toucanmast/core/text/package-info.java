/** Reads sections of text keys against the schema: kinds, units, ranges and defaults. */
package org.toucanmast.core.text;
