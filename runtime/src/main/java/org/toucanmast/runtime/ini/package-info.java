/** Reads INI files: the settings of a VM, and the configuration that operators edit. */
package org.toucanmast.runtime.ini;
