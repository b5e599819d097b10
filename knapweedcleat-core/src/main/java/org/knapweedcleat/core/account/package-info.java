/** Client accounts and the API keys that authenticate callers for them. */
package org.knapweedcleat.core.account;
