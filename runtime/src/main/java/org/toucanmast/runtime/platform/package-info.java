/** Client for the platform's object service. */
package org.toucanmast.runtime.platform;
