/** Allowances of customers that apply to all VMs together and are granted on demand. */
package org.toucanmast.core.quota;
