// The pages of the docs against the program's own lists.

#include "metrics.h"
#include "settings.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace almondmoor {

namespace {

    std::string page(const std::string& name)
    {
        std::ifstream in(absl::StrCat(ALMONDMOOR_DOCS, "/", name));
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    }

    void mustName(const std::string& text, std::string_view name)
    {
        INFO("the page lacks " << name);
        CHECK(text.find(absl::StrCat("`", std::string(name), "`")) != std::string::npos);
    }

} // namespace

TEST_CASE("each setting stands in docs/SETTINGS.md", "[docs]")
{
    const std::string text = page("SETTINGS.md");
    for (const auto& row : settingRows())
        mustName(text, absl::StrCat("--", row.flag));
}

TEST_CASE("each counter, reason and state stands in docs/OPERATIONS.md", "[docs]")
{
    const std::string text = page("OPERATIONS.md");
    for (const auto& [it, name] : eventNames)
        mustName(text, name);
    for (const auto& row : refusalRows)
        mustName(text, row.name);
    for (const auto& [reason, name] : retryReasonNames)
        mustName(text, name);
    for (const auto& [state, name] : upstreamStateNames)
        mustName(text, name);
}

} // namespace almondmoor
