import {expect} from 'earl';
import {OrganisationDirectory} from './organisation-directory.ts';
import {type OrganisationInForce} from './types.ts';

const one: OrganisationInForce = {name: 'one', priority: 1};

/** A directory that knows the key `k` of one organisation; the digest of a key is its text with a mark. */
function directoryWithOne(): OrganisationDirectory {
	const directory = new OrganisationDirectory((key, encoding) => `${encoding}:${key}`);
	directory.configure({organisations: new Map([['one', one]]), keyOwners: new Map([['latin1:k', 'one'], ['latin1:k 2', 'one']])});
	return directory;
}

describe('OrganisationDirectory', () => {
	const accepted: ReadonlyArray<readonly string[]> = [
		['Authorization', 'Bearer k'], ['authorization', 'bearer k'], ['AUTHORIZATION', 'BEARER   k'], ['Authorization', 'Bearer k 2'],
	];
	for (const headers of accepted) {
		it(`identifies the organisation by ${headers.join(': ')}`, () => {
			expect(directoryWithOne().check(['Host', 'x', ...headers])).toEqual({type: 'identified', organisation: one});
		});
	}

	// Guards against a call that runs without a valid key: the parsed headers of node:http contain only the first of several.
	const refused: ReadonlyArray<readonly [string, readonly string[], boolean]> = [
		['no header', [], false],
		['no scheme', ['Authorization', 'k'], false],
		['another scheme', ['Authorization', 'Basic k'], false],
		['a scheme that begins alike', ['Authorization', 'Bearers k'], false],
		['no key', ['Authorization', 'Bearer'], false],
		['another separator', ['Authorization', 'Bearer\tk'], false],
		['an unknown key', ['Authorization', 'Bearer K'], true],
		['a key with an addition', ['Authorization', 'Bearer k,k'], true],
		['a key of 16 KB', ['Authorization', `Bearer ${'k'.repeat(16_384)}`], true],
		['two headers', ['Authorization', 'Bearer k', 'authorization', 'Bearer k'], false],
		['a second header of another scheme', ['Authorization', 'Bearer k', 'Authorization', 'Basic x'], false],
		['the key in another header', ['Proxy-Authorization', 'Bearer k'], false],
	];
	for (const [what, headers, isKeySent] of refused) {
		it(`identifies nobody by ${what}`, () => {
			expect(directoryWithOne().check(headers)).toEqual({type: 'anonymous', isKeySent});
		});
	}

	// Guards against a list that became empty and opens all routes.
	it('requires keys if the operators declare an empty list, and none if they declare no list', () => {
		const directory = directoryWithOne();
		directory.configure({organisations: new Map(), keyOwners: new Map()});
		expect(directory.check(['Authorization', 'Bearer k'])).toEqual({type: 'anonymous', isKeySent: true});
		directory.configure({});
		expect(directory.check(['Authorization', 'Bearer k'])).toEqual({type: 'not-required'});
	});
});
