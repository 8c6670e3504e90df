/** A stand-in for a plain service. */
package org.mangoridge.standin.service;
