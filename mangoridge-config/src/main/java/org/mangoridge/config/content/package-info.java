/** Large values kept as hashed pieces. */
package org.mangoridge.config.content;
