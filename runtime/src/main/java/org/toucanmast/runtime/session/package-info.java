/** The sessions of callers at their entry VM, and the components of a VM that serves them. */
package org.toucanmast.runtime.session;
