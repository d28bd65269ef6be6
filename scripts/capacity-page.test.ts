import {expect} from 'earl';
import {checkPage, renderPage} from './capacity-page.ts';

describe('capacity page', () => {
	// Guards against figures on the page that no run gave, because the page was edited or the results were replaced.
	it('contains the figures of the stored results', () => {
		const {present, expected} = checkPage();
		expect(present).toEqual(expected);
		expect([...present.matchAll(/<!-- figures:/gv)].length).toEqual(8);
	});

	it('leaves a section with an unknown name unchanged', () => {
		const page = '<!-- figures:unknown -->\nkept\n<!-- end -->';
		expect(renderPage(page, checkPage().results)).toEqual(page);
	});
});
