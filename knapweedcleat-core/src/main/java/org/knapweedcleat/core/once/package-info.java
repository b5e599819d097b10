/** Makes asking again safe: remembers the outcomes of calls that may run at most once. */
package org.knapweedcleat.core.once;
