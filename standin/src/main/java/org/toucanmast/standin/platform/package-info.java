/**
 * The stand-in of the platform: versioned objects with conditional updates and watches, VM list.
 */
package org.toucanmast.standin.platform;
