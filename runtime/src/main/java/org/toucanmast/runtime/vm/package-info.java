/** The entry VM: all duties together. */
package org.toucanmast.runtime.vm;
