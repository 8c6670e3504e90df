/** A stand-in for the platform's object API. */
package org.mangoridge.standin.platform;
