import {expect} from 'earl';
import {checkPage, renderPage} from './capacity-page.ts';

describe('capacity page', () => {
	// A reader plans by a figure that no run gave: the page was edited, or the results were made anew.
	it('holds the figures that the stored results make', () => {
		const {present, expected} = checkPage();
		expect(present).toEqual(expected);
		expect([...present.matchAll(/<!-- figures:/gv)].length).toEqual(8);
	});

	it('leaves a section alone that it does not know', () => {
		const page = '<!-- figures:unknown -->\nkept\n<!-- end -->';
		expect(renderPage(page, checkPage().results)).toEqual(page);
	});
});
