/** Usage reports: counts of this VM, messages to the holder of the duty, its lock and reports. */
package org.toucanmast.runtime.usage;
