/** Admits requests against the allowances that all VMs share. */
package org.toucanmast.runtime.allowance;
