/** The platform's object API: versioned objects, conditional writes, watches and the list of instances. */
package org.mangoridge.objects;
