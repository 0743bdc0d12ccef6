/** Assembles the components of an entry VM, and starts and stops them. */
package org.toucanmast.runtime.vm;
