/** Client accounts and the keys by which callers show which account they act for. */
package org.knapweedcleat.core.account;
