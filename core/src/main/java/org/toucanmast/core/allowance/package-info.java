/** Token buckets for customers' allowances, whose rate and burst apply to all VMs together. */
package org.toucanmast.core.allowance;
