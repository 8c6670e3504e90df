/** Limits the rate of an instance's calls to the platform. */
package org.mangoridge.objects.budget;
