// One style sheet for every page, so that the Content-Security-Policy can
// forbid inline styles.
#include "laburnumdyke/plugin/console_html.h"

namespace laburnumdyke {

namespace {

constexpr std::string_view kStyle = R"(
body { font: 16px/1.45 sans-serif; color: #1c1c1c; background: #fff;
  margin: 0 auto; max-width: 84rem; padding: 0 1.5rem 3rem; }
header { border-bottom: 2px solid #2b4a5e; margin-bottom: 1.2rem;
  padding: .8rem 0; }
header a { color: #2b4a5e; font-weight: bold; text-decoration: none; }
h1 { font-size: 1.5rem; margin: 1rem 0 .5rem; }
h2 { font-size: 1.15rem; margin: 1.6rem 0 .4rem; }
table { border-collapse: collapse; }
th, td { border: 1px solid #c8d0d6; padding: .3rem .7rem; text-align: left;
  vertical-align: top; }
th { background: #eef2f5; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
td.hash { font-family: monospace; }
.table { overflow-x: auto; margin-bottom: 1.2rem; }
.table td:first-child { white-space: nowrap; }
code { overflow-wrap: anywhere; }
nav { display: flex; flex-wrap: wrap; gap: .4rem; margin: .8rem 0; }
button { font: inherit; padding: .3rem .8rem; border: 1px solid #2b4a5e;
  border-radius: 4px; background: #fff; color: #2b4a5e; cursor: pointer; }
button.main { background: #2b4a5e; color: #fff; }
button[aria-current] { background: #d5e2ea; font-weight: bold; }
button.first { position: absolute; left: -99rem; }
button.bad { border-color: #a40000; color: #a40000; }
button:focus, input:focus, textarea:focus, a:focus {
  outline: 3px solid #e0a030; outline-offset: 1px; }
fieldset { border: 1px solid #c8d0d6; border-radius: 4px; margin: 0 0 .8rem;
  padding: .5rem .9rem .7rem; display: grid; gap: .5rem 1.2rem;
  grid-template-columns: repeat(auto-fill, minmax(17rem, 1fr)); }
legend { font-weight: bold; padding: 0 .3rem; }
.field label { display: block; font-weight: bold; font-size: .9rem; }
.field .hint { display: block; color: #555; font-size: .8rem; }
.field input, .field textarea { font: inherit; box-sizing: border-box;
  width: 100%; padding: .25rem .4rem; border: 1px solid #7b8a94;
  border-radius: 3px; }
.field textarea { font-family: monospace; min-height: 7rem; }
.wide { grid-column: 1 / -1; }
.fault { display: block; color: #a40000; font-weight: bold; font-size: .85rem; }
.faulty input, .faulty textarea { border: 2px solid #a40000; }
.notice { border-left: 5px solid #2b4a5e; background: #eef2f5;
  padding: .6rem 1rem; margin: 1rem 0; }
.notice.bad { border-color: #a40000; background: #fbeeee; }
del { color: #a40000; } ins { color: #0b6b2e; text-decoration: none; }
/* Level with the inputs beside it, which stand under their labels. */
.end { padding-top: 1.3rem; }
.wide + .end { padding-top: 0; }
@media (max-width: 40rem) {
  body { padding: 0 .8rem 2rem; }
  .end { padding-top: 0; }
}
@media print { nav, button, .end { display: none; } }
)";

} // namespace

std::string_view
ConsoleStyle()
{
  return kStyle;
}

} // namespace laburnumdyke
