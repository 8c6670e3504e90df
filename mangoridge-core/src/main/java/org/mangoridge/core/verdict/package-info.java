/** Whether a request may have run, decided in one place. */
package org.mangoridge.core.verdict;
