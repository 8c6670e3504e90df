/** The platform's object API: versions, conditional updates, watches and the list of instances. */
package org.mangoridge.objects;
