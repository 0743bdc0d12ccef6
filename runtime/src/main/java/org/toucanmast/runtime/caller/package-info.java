/** The HTTP listener for callers: parsing, limits and answers. */
package org.toucanmast.runtime.caller;
