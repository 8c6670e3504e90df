/** The audit trail: chained entries in the platform's store. */
package org.mangoridge.config.audit;
