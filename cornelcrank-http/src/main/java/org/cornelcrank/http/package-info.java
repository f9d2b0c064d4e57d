/**
 * HTTP clients that accept only valid responses, for everything that reads the responses of another process.
 *
 * <p>Depends only on the HTTP library.
 */
package org.cornelcrank.http;
