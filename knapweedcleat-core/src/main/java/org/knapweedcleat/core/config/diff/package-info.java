/** What differs between two published documents and what is dangerous about it. */
package org.knapweedcleat.core.config.diff;
