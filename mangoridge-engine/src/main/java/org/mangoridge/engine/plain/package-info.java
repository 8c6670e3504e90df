/** Plain services beside the model engines. */
package org.mangoridge.engine.plain;
