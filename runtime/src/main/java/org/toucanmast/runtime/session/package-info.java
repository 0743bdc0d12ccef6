/** Callers' sessions at their entry VM, and the VM that serves them. */
package org.toucanmast.runtime.session;
