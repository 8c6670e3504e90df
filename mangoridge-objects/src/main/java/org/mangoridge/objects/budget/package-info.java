/** How often an instance may call the platform. */
package org.mangoridge.objects.budget;
