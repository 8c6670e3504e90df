/** Publication and adoption of configuration through the platform. */
package org.mangoridge.config;
